# Declares the static library gentianlug_NAME from src/*.cpp and src/detail/*.cpp,
# and its tests from tests/*.cpp. The library can use only the targets given
# after LINKS (public) and PRIVATE_LINKS.
function(gentianlug_library name)
  cmake_parse_arguments(ARG "" "" "LINKS;PRIVATE_LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/detail/*.cpp)
  add_library(gentianlug_${name} STATIC ${sources})
  add_library(gentianlug::${name} ALIAS gentianlug_${name})
  target_include_directories(gentianlug_${name} PUBLIC include PRIVATE src)
  target_link_libraries(gentianlug_${name} PUBLIC ${ARG_LINKS}
                        PRIVATE ${ARG_PRIVATE_LINKS})
  gentianlug_tests(${name})
endfunction()

# Builds tests/*.cpp of the current directory into one CppUTest executable,
# except for deployment builds.
function(gentianlug_tests name)
  cmake_parse_arguments(ARG "" "" "LINKS" ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  if(NOT tests OR GENTIANLUG_DEPLOY)
    return()
  endif()
  add_executable(test_${name} ${tests} ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp)
  target_include_directories(test_${name} PRIVATE src)
  target_link_libraries(test_${name} PRIVATE gentianlug_${name} ${ARG_LINKS}
                        PkgConfig::CPPUTEST)
  target_compile_definitions(test_${name} PRIVATE
    GENTIANLUG_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
