#include "zinniarail/dispatch/Engine.h"
