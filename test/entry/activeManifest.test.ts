import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import Versioned from '../../src/core/Versioned';
import ActiveManifest from '../../src/entry/ActiveManifest';
import { ConfigurationSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';

function followed(...manifests: string[]): ActiveManifest {
  const configurations = Versioned.of(create(ConfigurationSchema), ({ version }) => version);
  const view = ActiveManifest.follow(configurations);
  manifests.forEach((manifest, at) => {
    configurations.adopt(create(ConfigurationSchema, { version: BigInt(at + 1), manifest }));
  });
  return view;
}

test('a manifest that names no teams has the defaults', () => {
  const { current } = followed('{"services":[{"name":"booking"}]}');
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

test('what is no manifest leaves the last one in force', () => {
  const view = followed('{"services":[{"name":"booking"}]}', '{"services":1}', 'no JSON');
  expect(view.offers('booking')).toBe(true);
});

test('what was removed lately can still be asked for, also after a restart', () => {
  const view = followed(
    '{"services":[{"name":"booking"}],"teams":[{"name":"web","share":3}]}',
    '{}',
  );
  const again = ActiveManifest.follow(
    Versioned.of(
      create(ConfigurationSchema, {
        ...{ version: 2n, manifest: '{}' },
        retired: '{"services":[{"name":"booking"}],"teams":[{"name":"web","share":3}]}',
      }),
      ({ version }) => version,
    ),
  );
  const told = [view, again].map((each) => [
    ...[each.offers('booking'), each.offersTeam('web'), each.shareOf('web')],
    ...[each.withRemoved!.services.length, each.withRemoved!.teams.length],
  ]);
  expect(told).toEqual(Array(2).fill([false, false, 3, 1, 1]));
});
