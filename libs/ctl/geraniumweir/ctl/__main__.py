"""Runs the tool as ``python -m geraniumweir.ctl``."""

from geraniumweir.ctl import main

if __name__ == '__main__':
    main.main()
