"""Fleet-wide budgets: tokens have one holder each and are lent to the members that need them."""
