/** A key of the platform's key-value service with its value. */
export default interface StoreItem {
  readonly key: string;
  readonly value: string;
  /** The revision of the whole store at which the key was last written. */
  readonly revision: number;
}
