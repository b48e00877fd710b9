package guard

// ColdRate exports coldRate to the tests.
var ColdRate = coldRate
