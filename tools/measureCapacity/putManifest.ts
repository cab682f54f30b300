import { request } from 'undici';

/** Writes a manifest to the platform stand-in and replaces any stored one unconditionally. */
export default async function putManifest(
  platform: string,
  version: number,
  manifest: object,
): Promise<void> {
  const value = JSON.stringify({ version, applyId: `version-${version}`, manifest });
  const { body } = await request(`http://${platform}/v1/keys/manifest`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ value }),
  });
  await body.dump();
}
