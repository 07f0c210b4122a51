package entry

import (
	"time"

	"hornbeamcove.example/core/fleet"
	"hornbeamcove.example/core/wire"
)

// overShare returns by what ratio a team exceeds its share of a service, 0 if it doesn't.
func (*Server) overShare(time.Time, fleet.ServiceID, wire.TeamID) float64 { return 0 }
