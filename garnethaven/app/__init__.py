"""Where the parts are put together; nothing imports this package."""
