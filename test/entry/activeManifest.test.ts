import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Versioned from '../../src/core/Versioned';
import ActiveManifest from '../../src/entry/ActiveManifest';
import { ConfigurationSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';

function manifestAfter(...manifests: string[]): ActiveManifest {
  const configurations = Versioned.of(create(ConfigurationSchema), ({ version }) => version);
  const active = ActiveManifest.follow(configurations);
  manifests.forEach((manifest, index) => {
    configurations.adopt(create(ConfigurationSchema, { version: BigInt(index + 1), manifest }));
  });
  return active;
}

test('a manifest without teams has the defaults', () => {
  const { current } = manifestAfter('{"services":[{"name":"booking"}]}');
  expect([current!.teams, current!.system, current!.services[0]!.timeoutMs]).toMatchInlineSnapshot(`
    [
      [],
      {
        "defaultTeam": "default",
      },
      10000,
    ]
  `);
});

test('a text that is not a valid manifest leaves the last one active', () => {
  const active = manifestAfter('{"services":[{"name":"booking"}]}', '{"services":1}', 'no JSON');
  expect(active.offersService('booking')).toBe(true);
});

test('a removed service and team can still be looked up, also after a restart', () => {
  const active = manifestAfter(
    '{"services":[{"name":"booking"}],"teams":[{"name":"web","share":3}]}',
    '{}',
  );
  const restarted = ActiveManifest.follow(
    Versioned.of(
      create(ConfigurationSchema, {
        ...{ version: 2n, manifest: '{}' },
        retired: '{"services":[{"name":"booking"}],"teams":[{"name":"web","share":3}]}',
      }),
      ({ version }) => version,
    ),
  );
  const lookups = [active, restarted].map((manifest) => [
    ...[manifest.offersService('booking'), manifest.offersTeam('web'), manifest.shareOf('web')],
    ...[manifest.withRemoved!.services.length, manifest.withRemoved!.teams.length],
  ]);
  expect(lookups).toEqual(Array(2).fill([false, false, 3, 1, 1]));
});
