"""Run decisions under a virtual clock against small fakes of targets and callers."""
