package guard

// ColdRate is coldRate, for tests.
var ColdRate = coldRate
