import type ManifestChange from './ManifestChange';
import type ManifestStore from './ManifestStore';
import type StoredManifest from './StoredManifest';

/** A manifest to be applied, with its differences from the active one. */
export default interface ManifestPlan {
  readonly store: ManifestStore;
  readonly manifest: object;
  readonly current: StoredManifest | undefined;
  readonly changes: readonly ManifestChange[];
}
