#!/bin/sh
exec "$(dirname "$0")/../play.sh" 3
