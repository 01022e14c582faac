"""The whole system: one program whose processes find one another, keep the configuration, deliver it and
carry the traffic (docs/design/system.md). Pure modules below, their thin I/O beside them, roles on top; no
import points up."""
