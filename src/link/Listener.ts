/** An open listening address. */
export default interface Listener {
  /** The address in use, "ip:port", with the port that was given for port 0. */
  readonly address: string;
  /** Ends every connection and stops listening. */
  close(): Promise<void>;
}
