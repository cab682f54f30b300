/** What a backend server says of itself to its sidecar. */
export default interface Announcement {
  readonly service: string;
  /** Where it takes tasks, "ip:port". */
  readonly address: string;
  /** Tasks that it runs at once. */
  readonly slots: number;
  /** Connections that it accepts from its sidecar. */
  readonly connections: number;
}
