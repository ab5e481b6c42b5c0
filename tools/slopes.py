"""Measures all slopes; the argument names the file to write."""

from geraniumweir.fakes.slopes import main

if __name__ == '__main__':
    main.main()
