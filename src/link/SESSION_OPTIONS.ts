const STREAM_WINDOW_BYTES = 1024 * 1024;
const SESSION_MEMORY_MB = 512;

/** What both ends of an HTTP/2 session between processes set. */
const SESSION_OPTIONS = {
  // The library's own limit would refuse new streams while a few large bodies are on their way.
  maxSessionMemory: SESSION_MEMORY_MB,
  settings: { initialWindowSize: STREAM_WINDOW_BYTES },
};

export default SESSION_OPTIONS;
