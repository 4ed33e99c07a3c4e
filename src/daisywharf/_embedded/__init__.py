"""The library that embeds daisywharf in the process of a caller or a target."""
