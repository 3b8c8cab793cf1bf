package pimentolink

import "github.com/VictoriaMetrics/easyproto"

var marshalers easyproto.MarshalerPool
