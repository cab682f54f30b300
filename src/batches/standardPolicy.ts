import type BatchPolicy from './BatchPolicy';
import choosePeer from './choosePeer';
import findShunned from './findShunned';
import predictWait from './predictWait';
import urgencyOf from './urgencyOf';
import worthMoving from './worthMoving';

/** The decisions that entries make unless others are tried. */
const standardPolicy: BatchPolicy = {
  urgency: urgencyOf,
  choose: choosePeer,
  shun: findShunned,
  predict: predictWait,
  move: worthMoving,
};

export default standardPolicy;
