package pimentolink

import "github.com/VictoriaMetrics/easyproto"

// marshalers pools the encoders of all messages.
var marshalers easyproto.MarshalerPool
