/** Keys and key prefixes of the entries in the platform's key-value service. */
const storeKeys = {
  view: 'view',
  manifest: 'manifest',
  /** Prefix of replaced manifests, followed by the version. */
  historyPrefix: 'history/',
  /** Prefix of the lease keys, followed by the incarnation of a live entry. */
  entryPrefix: 'entries/',
} as const;
export default storeKeys;
