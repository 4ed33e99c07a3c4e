"""Keep the promises on outcomes: at most once, whole answers, links that can't go silent."""
