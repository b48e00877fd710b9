package node

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/reflect/protoreflect"

	"verbenareel/schema"
)

// reloadable are the settings that take effect without a restart.
var reloadable = map[protoreflect.Name]bool{
	"platform_url": true, "drain_timeout": true, "service_defaults": true, "domains": true, "log_level": true,
}

// Reload takes over changed settings. It logs which of them take effect and which need a restart.
func (n *Node) Reload(next *schema.Settings) {
	before := n.current.Swap(next)
	var applied, waiting []string
	fields := next.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if sameField(before.ProtoReflect(), next.ProtoReflect(), f) {
			continue
		}
		if reloadable[f.Name()] {
			applied = append(applied, string(f.Name()))
		} else {
			waiting = append(waiting, string(f.Name()))
		}
	}
	switch {
	case n.adapter != nil:
		n.adapter.Configure(next)
	case n.client != nil:
		n.client.SetBase(next.GetPlatformUrl())
	}
	n.logger.Info("settings reloaded", zap.Strings("applied", applied), zap.Strings("need_restart", waiting))
}

// sameField reports whether two messages agree in a field.
func sameField(a, b protoreflect.Message, f protoreflect.FieldDescriptor) bool {
	return a.Has(f) == b.Has(f) && (!a.Has(f) || a.Get(f).Equal(b.Get(f)))
}
