/** A difference between two manifests. */
export default interface ManifestChange {
  readonly kind: 'added' | 'removed' | 'changed';
  /** Keys joined by dots, with services and teams identified by name: `services.booking.timeoutMs`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}
