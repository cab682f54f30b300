/** The port that a URL without TLS leaves out. */
const DEFAULT_PORT = 80;

export default DEFAULT_PORT;
