import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import { LoadReportSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import PeerLoads from '../../src/sharing/PeerLoads';
import ManualTimer from '../support/ManualTimer';

test('a report has full weight while it is fresh, then decays, and is dropped', () => {
  const timer = ManualTimer.create();
  const peerLoads = PeerLoads.create(timer);
  peerLoads.update('e1', create(LoadReportSchema, { services: [{ service: 'booking' }] }));
  const weights = [0, 200, 200, 200, 601].map((ms) => {
    timer.jump(ms);
    return peerLoads.forService('booking').map(({ ageMs, weight }) => [ageMs, weight]);
  });
  expect(weights).toEqual([[[0, 1]], [[200, 1]], [[400, 0.5]], [[600, 0.25]], []]);
});

test('an entry counts by its newest report, and only for services in it', () => {
  const peerLoads = PeerLoads.create(ManualTimer.create());
  peerLoads.update('e1', create(LoadReportSchema, { services: [{ service: 'booking' }] }));
  peerLoads.update('e1', create(LoadReportSchema, { services: [{ service: 'billing' }] }));
  expect([peerLoads.forService('booking').length, peerLoads.forService('billing').length]).toEqual([
    0, 1,
  ]);
});
