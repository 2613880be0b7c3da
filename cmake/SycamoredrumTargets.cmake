# Defines the static library sd_NAME, which exports the public headers in src/include.
# sycamoredrum_library(NAME SOURCES file... DEPENDS target...)
function(sycamoredrum_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(sd_${name} STATIC ${ARG_SOURCES})
  target_include_directories(sd_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/include)
  target_include_directories(sd_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(sd_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# Test programs that run under sanitizers. Builds with sanitizers build only these targets.
add_custom_target(unit_tests)
add_custom_target(concurrent_tests)

# Defines a GoogleTest program. Tests with the label "process" start real processes and are not run
# under sanitizers; tests with the label "concurrent" are run under ThreadSanitizer.
# With SHARDS n, the program runs as n tests NAME_1 to NAME_n, each with a part of its cases.
# sycamoredrum_test(NAME SOURCES file... DEPENDS target... LABELS label... SHARDS n)
function(sycamoredrum_test name)
  if(NOT SYCAMOREDRUM_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "SHARDS" "SOURCES;DEPENDS;LABELS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gmock GTest::gtest GTest::gtest_main)
  if(NOT ARG_SHARDS)
    set(ARG_SHARDS 1)
  endif()
  foreach(shard RANGE 1 ${ARG_SHARDS})
    set(test ${name})
    if(ARG_SHARDS GREATER 1)
      set(test ${name}_${shard})
    endif()
    math(EXPR shard_index "${shard} - 1")
    add_test(NAME ${test} COMMAND ${name})
    # A fixed seed makes RapidCheck results reproducible. For other seeds, run the program by hand
    # with RC_PARAMS=seed=N.
    set_tests_properties(${test} PROPERTIES TIMEOUT 600 LABELS "${ARG_LABELS}"
      ENVIRONMENT
      "RC_PARAMS=seed=20261204;GTEST_TOTAL_SHARDS=${ARG_SHARDS};GTEST_SHARD_INDEX=${shard_index}")
  endforeach()
  if(NOT "process" IN_LIST ARG_LABELS)
    add_dependencies(unit_tests ${name})
  endif()
  if("concurrent" IN_LIST ARG_LABELS)
    add_dependencies(concurrent_tests ${name})
  endif()
endfunction()
