"""Cases of the review. Each folder has a claim and a script that shows it; REPORT.md lists the results."""
