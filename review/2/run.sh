#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" UnlistedAfterOutage "$(dirname "$0")"
