#define BOOST_TEST_MODULE beast
#include <boost/test/unit_test.hpp>
