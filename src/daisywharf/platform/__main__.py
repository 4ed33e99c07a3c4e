"""Run the daemon of one VM of the users' platform."""

from daisywharf.platform._program import main

main()
