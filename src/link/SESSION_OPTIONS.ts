const STREAM_WINDOW_BYTES = 1024 * 1024;
const SESSION_MEMORY_MB = 512;

/** Options of an HTTP/2 session between processes, the same at both ends. */
const SESSION_OPTIONS = {
  // With Node's default limit, new streams would be refused while a few large bodies are being transferred.
  maxSessionMemory: SESSION_MEMORY_MB,
  settings: { initialWindowSize: STREAM_WINDOW_BYTES },
};

export default SESSION_OPTIONS;
