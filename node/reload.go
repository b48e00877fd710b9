package node

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/reflect/protoreflect"

	"verbenareel/schema"
)

// reloadable contains the settings that take effect without a restart.
var reloadable = map[protoreflect.Name]bool{
	"platform_url": true, "drain_timeout": true, "service_defaults": true, "domains": true, "log_level": true,
}

// Reload applies changed settings. It logs which of them take effect immediately and which require a restart.
func (n *Node) Reload(next *schema.Settings) {
	before := n.currentSettings.Swap(next)
	var applied, needRestart []string
	fields := next.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if fieldEqual(before.ProtoReflect(), next.ProtoReflect(), f) {
			continue
		}
		if reloadable[f.Name()] {
			applied = append(applied, string(f.Name()))
		} else {
			needRestart = append(needRestart, string(f.Name()))
		}
	}
	switch {
	case n.adapter != nil:
		n.adapter.Configure(next)
	case n.client != nil:
		n.client.SetBase(next.GetPlatformUrl())
	}
	n.logger.Info("settings reloaded", zap.Strings("applied", applied), zap.Strings("need_restart", needRestart))
}

// fieldEqual reports whether a field is equal in two messages.
func fieldEqual(a, b protoreflect.Message, f protoreflect.FieldDescriptor) bool {
	return a.Has(f) == b.Has(f) && (!a.Has(f) || a.Get(f).Equal(b.Get(f)))
}
