/** What a backend server announces to its sidecar. */
export default interface Announcement {
  readonly service: string;
  /** Address at which it accepts tasks, "ip:port". */
  readonly address: string;
  /** Number of tasks that it runs concurrently. */
  readonly slots: number;
  /** Number of concurrent connections that it accepts from its sidecar. */
  readonly connections: number;
}
