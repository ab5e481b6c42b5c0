"""Fills in the tables of docs/CAPACITY.md from docs/measured/slopes.json."""

from geraniumweir.fakes.capacity import page

if __name__ == '__main__':
    page.main()
