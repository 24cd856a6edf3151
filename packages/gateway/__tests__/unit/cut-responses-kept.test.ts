/** Guards against truncated responses that callers get as complete ones, on kept connections. */
import {testCutResponses} from '../cut-attempts.js';

testCutResponses('kept');
