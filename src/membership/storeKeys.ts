/** The keys that entries use in the platform's key-value service. */
const storeKeys = {
  view: 'view',
  manifest: 'manifest',
  /** Replaced manifests, by their versions. */
  history: 'history/',
  /** Each live entry holds the key of this prefix and its incarnation, under its lease. */
  entries: 'entries/',
} as const;
export default storeKeys;
