import { create } from '@bufbuild/protobuf';
import { err, ok, Result } from 'neverthrow';
import { ConfigurationSchema, type Configuration } from '../gen/magnoliakeel/v1/peer_pb';

const parseJson = Result.fromThrowable((value: string): unknown => JSON.parse(value), String);

/** Parses the value of the store key `manifest`; the error describes why it is invalid. */
export default function parseConfiguration(value: string): Result<Configuration, string> {
  return parseJson(value).andThen((stored) => {
    if (!isStoredManifest(stored)) return err('expected a version above 0 and a manifest');
    return ok(
      create(ConfigurationSchema, {
        version: BigInt(stored.version),
        manifest: JSON.stringify(stored.manifest),
        retired: isObject(stored.retired) ? JSON.stringify(stored.retired) : '',
      }),
    );
  });
}

interface StoredManifest {
  readonly version: number;
  readonly manifest: object;
  readonly retired?: unknown;
}

function isStoredManifest(value: unknown): value is StoredManifest {
  if (typeof value !== 'object' || value === null) return false;
  const { version, manifest } = value as Partial<StoredManifest>;
  return Number.isSafeInteger(version) && Number(version) > 0 && isObject(manifest);
}

function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}
