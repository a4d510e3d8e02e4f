#include "gentianlug/membership/member_record.h"
