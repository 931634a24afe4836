/// \file
/// Overview of the intent module: the operators' document, its form, its
/// differences, and which version is in force.
#pragma once

#include "zinniarail/intent/Changes.h"
#include "zinniarail/intent/Document.h"
#include "zinniarail/intent/Format.h"
#include "zinniarail/intent/InForce.h"
#include "zinniarail/intent/Parts.h"
