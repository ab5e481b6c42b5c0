"""Control hosts, and how entry hosts follow them.

A few hosts with a disk store the document and the enrolments of backend
servers; the one that leads the log also coordinates the pools. Entry hosts
watch one of them.

See Also ======== geraniumweir.control.enrolments, geraniumweir.control.feed,
geraniumweir.control.watching, geraniumweir.control.leadership
"""
