# sapphirereel_library(NAME [LINK target...]): a package's static library from
# every source in its src folder.
function(sapphirereel_library name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "_main\\.cpp$")
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC
      ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(${name} PUBLIC ${ARG_LINK})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE
      ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(${name} INTERFACE ${ARG_LINK})
  endif()
endfunction()

# sapphirereel_programs(LINK target...): one program from each src/*_main.cpp,
# named after the file.
function(sapphirereel_programs)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB mains CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*_main.cpp)
  foreach(main ${mains})
    get_filename_component(program ${main} NAME_WE)
    string(REGEX REPLACE "_main$" "" program ${program})
    add_executable(${program} ${main})
    target_link_libraries(${program} PRIVATE ${ARG_LINK})
    set_target_properties(${program} PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  endforeach()
endfunction()

# sapphirereel_tests(PURPOSE PACKAGE LINK target...): one test program from
# every file in test/PURPOSE/PACKAGE, each test registered with CTest.
function(sapphirereel_tests purpose package)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS
    ${CMAKE_SOURCE_DIR}/test/${purpose}/${package}/*.cpp)
  if(NOT sources)
    return()
  endif()
  set(name ${purpose}_${package})
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_link_libraries(${name} PRIVATE ${ARG_LINK} rapidcheck rapidcheck_gtest
    GTest::gtest_main GTest::gmock)
  # Tests of the daemon start whole clusters of processes: one at a time, so
  # that a busy machine does not stretch what they observe.
  set(serial FALSE)
  if(package STREQUAL daemon)
    set(serial TRUE)
  endif()
  gtest_discover_tests(${name} TEST_PREFIX "${purpose}.${package}."
    DISCOVERY_TIMEOUT 60
    PROPERTIES TIMEOUT 300 RUN_SERIAL ${serial}
      ENVIRONMENT "RC_PARAMS=seed=20260")
endfunction()
