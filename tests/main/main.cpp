#define BOOST_TEST_MODULE main
#include <boost/test/unit_test.hpp>
