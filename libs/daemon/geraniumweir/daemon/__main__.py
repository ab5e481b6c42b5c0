"""Runs the daemon as ``python -m geraniumweir.daemon``."""

from geraniumweir.daemon import main

if __name__ == '__main__':
    main.main()
