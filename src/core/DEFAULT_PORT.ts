/** The port that a URL without TLS may omit. */
const DEFAULT_PORT = 80;

export default DEFAULT_PORT;
