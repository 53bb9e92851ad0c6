#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" QueuedAtLeaving "$(dirname "$0")"
