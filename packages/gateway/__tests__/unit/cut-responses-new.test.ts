/** Guards against truncated responses that callers get as complete ones, on new connections. */
import {testCutResponses} from '../cut-attempts.js';

testCutResponses('new');
