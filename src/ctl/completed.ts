import loadManifest from '../settings/loadManifest';
import type StoredManifest from './StoredManifest';

/** A stored manifest with the defaults of this version filled in, so that only real differences show. */
export default function completed(stored: StoredManifest | undefined): object {
  const manifest = stored?.manifest ?? {};
  return loadManifest(JSON.stringify(manifest), 'stored').unwrapOr(manifest as never);
}
