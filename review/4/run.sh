#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" UnlistedAfterReset "$(dirname "$0")"
