/*
 * Runs the Python program in the zip archive at the end of this executable.
 *
 * The interpreter is linked statically and the archive holds the standard
 * library, so that only the C library is needed. No other process is started.
 */

#include <Python.h>

#include <dlfcn.h>
#include <limits.h>
#include <unistd.h>

static PyObject *LoadLibrary(PyObject *self, PyObject *args) {
  const char *path;
  (void)self;
  if (!PyArg_ParseTuple(args, "s", &path)) {
    return NULL;
  }
  if (dlopen(path, RTLD_NOW | RTLD_GLOBAL) == NULL) {
    PyErr_SetString(PyExc_ImportError, dlerror());
    return NULL;
  }
  Py_RETURN_NONE;
}

static PyMethodDef kMethods[] = {
    {"load_library", LoadLibrary, METH_VARARGS,
     "Loads a shared library and exports its symbols to extension modules."},
    {NULL, NULL, 0, NULL}};

static PyModuleDef kModule = {
    PyModuleDef_HEAD_INIT, "_launcher", NULL, -1, kMethods,
    NULL, NULL, NULL, NULL};

static PyObject *CreateModule(void) { return PyModule_Create(&kModule); }

static void ExitOnFailure(PyStatus status, PyConfig *config) {
  if (!PyStatus_Exception(status)) {
    return;
  }
  PyConfig_Clear(config);
  Py_ExitStatusException(status);
}

int main(int argc, char **argv) {
  char executable[PATH_MAX];
  ssize_t length = readlink("/proc/self/exe", executable, PATH_MAX - 1);
  if (length < 0) {
    perror("siskinmount: /proc/self/exe");
    return 70;
  }
  executable[length] = '\0';
  if (PyImport_AppendInittab("_launcher", CreateModule) != 0) {
    return 70;
  }

  PyConfig config;
  PyConfig_InitIsolatedConfig(&config);
  config.parse_argv = 0;
  config.site_import = 0;
  config.write_bytecode = 0;
  config.module_search_paths_set = 1;
  ExitOnFailure(PyConfig_SetBytesArgv(&config, argc, argv), &config);
  ExitOnFailure(
      PyConfig_SetBytesString(&config, &config.executable, executable),
      &config);
  ExitOnFailure(PyConfig_SetBytesString(&config, &config.home, executable),
                &config);
  ExitOnFailure(
      PyConfig_SetString(&config, &config.run_module, L"binary_start"),
      &config);
  ExitOnFailure(PyWideStringList_Append(&config.module_search_paths,
                                        config.executable),
                &config);
  ExitOnFailure(Py_InitializeFromConfig(&config), &config);
  PyConfig_Clear(&config);
  return Py_RunMain();
}
