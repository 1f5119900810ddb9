// Package standard links all plug-ins of this module. It is the only place that lists them.
package standard

import (
	_ "gooseberrylane.example/plugins/admission/classes"
	_ "gooseberrylane.example/plugins/admission/open"
	_ "gooseberrylane.example/plugins/configuration/log"
	_ "gooseberrylane.example/plugins/configuration/static"
	_ "gooseberrylane.example/plugins/dispatch/owner"
	_ "gooseberrylane.example/plugins/engine/standard"
	_ "gooseberrylane.example/plugins/executor/slots"
	_ "gooseberrylane.example/plugins/frontend/http"
	_ "gooseberrylane.example/plugins/frontend/operator"
	_ "gooseberrylane.example/plugins/hedging/learned"
	_ "gooseberrylane.example/plugins/hedging/none"
	_ "gooseberrylane.example/plugins/membership/heartbeat"
	_ "gooseberrylane.example/plugins/membership/static"
	_ "gooseberrylane.example/plugins/metrics/expvar"
	_ "gooseberrylane.example/plugins/peer/websocket"
	_ "gooseberrylane.example/plugins/platform/http"
	_ "gooseberrylane.example/plugins/records/none"
	_ "gooseberrylane.example/plugins/records/platform"
	_ "gooseberrylane.example/plugins/report/burn"
	_ "gooseberrylane.example/plugins/retry/budget"
	_ "gooseberrylane.example/plugins/retry/none"
	_ "gooseberrylane.example/plugins/selection/adaptive"
	_ "gooseberrylane.example/plugins/selection/random"
	_ "gooseberrylane.example/plugins/transport/http"
)
