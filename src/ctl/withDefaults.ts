import loadManifest from '../settings/loadManifest';
import type StoredManifest from './StoredManifest';

/** Fills in the defaults of this software version, so that a comparison shows only real differences. */
export default function withDefaults(stored: StoredManifest | undefined): object {
  const manifest = stored?.manifest ?? {};
  return loadManifest(JSON.stringify(manifest), 'stored').unwrapOr(manifest as never);
}
