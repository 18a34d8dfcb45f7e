package conns

import "time"

// Expired is a deadline in the past, which makes blocked and later reads and writes fail at
// once.
var Expired = time.Unix(1, 0)
